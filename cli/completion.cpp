#include "cli/completion.h"

#include "cli/command_line.h"
#include "servers/configuration/configuration_entry.h"

#include "fmt/format.h"

#include <set>

namespace fulmarwinch {

namespace {

constexpr const char *Head = R"(_fulmarwinch() {
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

constexpr const char *Tail = R"(  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
  if [[ $command == plan ]]; then
    COMPREPLY+=($(compgen -f -- "$current"))
  elif [[ $command == describe ]]; then
    compopt -o nospace
  fi
}
complete -F _fulmarwinch fulmarwinch
)";

std::string commandWords(const char *Separator) {
  std::string Words;
  for (const EnumName<Command> &Row : CommandNames)
    Words += fmt::format("{}{}", Words.empty() ? "" : Separator, Row.m_Name);
  return Words;
}

/// Returns the options of a command, read from its help so that a new option
/// is completed without a change here.
std::string optionWords(Command Wanted) {
  const std::string Help = helpOf(Wanted);
  std::set<std::string> Options;
  for (std::size_t At = Help.find("  --"); At != std::string::npos;
       At = Help.find("  --", At + 1)) {
    const std::size_t Start = At + 2;
    Options.insert(Help.substr(Start, Help.find(' ', Start) - Start));
  }
  std::string Words;
  for (const std::string &Option : Options)
    Words += " " + Option;
  return Words;
}

std::string argumentWords(Command Wanted) {
  if (Wanted == Command::Zone)
    return "out in";
  if (Wanted == Command::Completion)
    return "bash";
  if (Wanted != Command::Get && Wanted != Command::Describe)
    return "";
  const char *End = Wanted == Command::Describe ? "/" : "";
  std::string Words = fmt::format("group{} node{}", End, End);
  for (const EnumName<EntryKind> &Row : EntryKindNames)
    Words += fmt::format(" {}{}", Row.m_Name, End);
  return Words;
}

} // namespace

std::string bashCompletion() {
  std::string Script = Head;
  Script += fmt::format("      {}) command=$word; break ;;\n"
                        "    esac\n"
                        "  done\n"
                        "  case $command in\n"
                        "    '') words=\"{} --help --version\" ;;\n",
                        commandWords("|"), commandWords(" "));
  for (const EnumName<Command> &Row : CommandNames)
    Script += fmt::format("    {}) words=\"{}{}\" ;;\n", Row.m_Name,
                          argumentWords(Row.m_Value), optionWords(Row.m_Value));
  return Script + Tail;
}

} // namespace fulmarwinch
