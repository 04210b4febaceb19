#include "cli/completion.h"

#include "cli/command_line.h"
#include "servers/configuration/configuration_entry.h"

#include "fmt/format.h"

#include <set>

namespace fulmarwinch {

namespace {

constexpr const char *ScriptHead = R"(_fulmarwinch() {
  local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  local command= words= word
  COMPREPLY=()
  case $previous in
    --output) COMPREPLY=($(compgen -W "table json" -- "$current")); return ;;
    --key-file) COMPREPLY=($(compgen -f -- "$current")); return ;;
    --server|--timeout|--day) return ;;
  esac
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case $word in
)";

constexpr const char *ScriptTail = R"(  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
  if [[ $command == plan ]]; then
    COMPREPLY+=($(compgen -f -- "$current"))
  elif [[ $command == describe ]]; then
    compopt -o nospace
  fi
}
complete -F _fulmarwinch fulmarwinch
)";

std::string joinCommandNames(const char *Separator) {
  std::string Words;
  for (const EnumName<Command> &Entry : CommandNames)
    Words += fmt::format("{}{}", Words.empty() ? "" : Separator, Entry.m_Name);
  return Words;
}

/// Returns the options of a command, each with a leading space. They are
/// extracted from the command's help text, so that the completion of a new
/// option needs no change in this file.
std::string joinOptions(Command Requested) {
  const std::string Help = commandHelp(Requested);
  std::set<std::string> Options;
  for (std::size_t Match = Help.find("  --"); Match != std::string::npos;
       Match = Help.find("  --", Match + 1)) {
    const std::size_t Start = Match + 2;
    Options.insert(Help.substr(Start, Help.find(' ', Start) - Start));
  }
  std::string Words;
  for (const std::string &Option : Options)
    Words += " " + Option;
  return Words;
}

/// Returns the words that can be the command's positional argument.
std::string joinArgumentWords(Command Requested) {
  if (Requested == Command::Zone)
    return "out in";
  if (Requested == Command::Completion)
    return "bash";
  if (Requested != Command::Get && Requested != Command::Describe)
    return "";
  const char *Suffix = Requested == Command::Describe ? "/" : "";
  std::string Words = fmt::format("group{} node{}", Suffix, Suffix);
  for (const EnumName<EntryKind> &Entry : EntryKindNames)
    Words += fmt::format(" {}{}", Entry.m_Name, Suffix);
  return Words;
}

} // namespace

std::string bashCompletion() {
  std::string Script = ScriptHead;
  Script += fmt::format("      {}) command=$word; break ;;\n"
                        "    esac\n"
                        "  done\n"
                        "  case $command in\n"
                        "    '') words=\"{} --help --version\" ;;\n",
                        joinCommandNames("|"), joinCommandNames(" "));
  for (const EnumName<Command> &Entry : CommandNames)
    Script += fmt::format("    {}) words=\"{}{}\" ;;\n", Entry.m_Name,
                          joinArgumentWords(Entry.m_Value),
                          joinOptions(Entry.m_Value));
  return Script + ScriptTail;
}

} // namespace fulmarwinch
