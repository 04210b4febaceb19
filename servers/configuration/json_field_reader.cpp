#include "servers/configuration/json_field_reader.h"

#include "core/error.h"

#include "absl/strings/str_join.h"
#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace fulmarwinch {

namespace {

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' ||
         Character == '_' || Character == '-';
}

} // namespace

std::string jsonForError(const Json &Value) {
  constexpr std::size_t MaxBytes = 80;
  std::string Shortened =
      Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Shortened.size() > MaxBytes)
    Shortened = Shortened.substr(0, MaxBytes) + "...";
  return Shortened;
}

JsonFieldReader::JsonFieldReader(const Json &Object, std::string Path)
    : m_Object(Object), m_Path(std::move(Path)) {
  if (!m_Object.is_object())
    m_Fault = makeError(ErrorKind::InvalidArgument,
                        fmt::format("{}: found {}, allowed an object", m_Path,
                                    jsonForError(Object)),
                        "write the entry as a JSON object");
}

std::string JsonFieldReader::pathOf(std::string_view Key) const {
  return fmt::format("{}.{}", m_Path, Key);
}

void JsonFieldReader::fail(std::string_view Key, std::string_view Found,
                           std::string_view Allowed, std::string_view Remedy) {
  if (m_Fault.ok())
    m_Fault = makeError(
        ErrorKind::InvalidArgument,
        fmt::format("{}: found {}, allowed {}", pathOf(Key), Found, Allowed),
        Remedy);
}

void JsonFieldReader::recordFault(const absl::Status &Status) {
  if (m_Fault.ok())
    m_Fault = Status;
}

const Json *JsonFieldReader::find(const char *Key, bool Required,
                                  std::string_view Allowed) {
  m_ReadKeys.insert(Key);
  if (!m_Object.is_object())
    return nullptr;
  const auto Member = m_Object.find(Key);
  if (Member != m_Object.end())
    return &*Member;
  if (Required)
    fail(Key, "nothing", Allowed, "add the key");
  return nullptr;
}

std::string JsonFieldReader::text(const char *Key, std::size_t MaxLength) {
  const std::string Allowed = fmt::format("a text of 1 to {} bytes", MaxLength);
  const Json *Value = find(Key, true, Allowed);
  if (!Value)
    return {};
  if (!Value->is_string() || Value->get_ref<const std::string &>().empty() ||
      Value->get_ref<const std::string &>().size() > MaxLength) {
    fail(Key, jsonForError(*Value), Allowed, "correct the value");
    return {};
  }
  return Value->get<std::string>();
}

std::string JsonFieldReader::textOr(const char *Key,
                                    const std::string &Default) {
  return find(Key, false, "") ? text(Key) : Default;
}

std::string JsonFieldReader::name(const char *Key) {
  constexpr std::size_t MaxNameLength = 128;
  std::string Name = text(Key, MaxNameLength);
  if (!std::all_of(Name.begin(), Name.end(), isNameCharacter)) {
    fail(Key, jsonForError(Name), "letters, digits, '.', '_' and '-'",
         "choose another name");
    return {};
  }
  return Name;
}

std::int64_t JsonFieldReader::integer(const char *Key, std::int64_t Min,
                                      std::int64_t Max) {
  const std::string Allowed = fmt::format("an integer from {} to {}", Min, Max);
  const Json *Value = find(Key, true, Allowed);
  if (!Value)
    return Min;
  const bool IsValid =
      Value->is_number_integer() &&
      (!Value->is_number_unsigned() ||
       Value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX)) &&
      Value->get<std::int64_t>() >= Min && Value->get<std::int64_t>() <= Max;
  if (!IsValid) {
    fail(Key, jsonForError(*Value), Allowed, "correct the value");
    return Min;
  }
  return Value->get<std::int64_t>();
}

std::int64_t JsonFieldReader::integerOr(const char *Key, std::int64_t Min,
                                        std::int64_t Max,
                                        std::int64_t Default) {
  return find(Key, false, "") ? integer(Key, Min, Max) : Default;
}

double JsonFieldReader::numberOr(const char *Key, double Min, double Max,
                                 double Default) {
  const Json *Value = find(Key, false, "");
  if (!Value)
    return Default;
  const bool IsValid = Value->is_number() && Value->get<double>() >= Min &&
                       Value->get<double>() <= Max;
  if (!IsValid) {
    fail(Key, jsonForError(*Value),
         fmt::format("a number from {} to {}", Min, Max), "correct the value");
    return Default;
  }
  return Value->get<double>();
}

bool JsonFieldReader::flag(const char *Key) {
  const Json *Value = find(Key, true, "true or false");
  if (!Value)
    return false;
  if (!Value->is_boolean()) {
    fail(Key, jsonForError(*Value), "true or false", "correct the value");
    return false;
  }
  return Value->get<bool>();
}

bool JsonFieldReader::flagOr(const char *Key, bool Default) {
  return find(Key, false, "") ? flag(Key) : Default;
}

const Json *JsonFieldReader::optionalList(const char *Key,
                                          std::size_t MaxCount) {
  const Json *Value = find(Key, false, "");
  if (!Value)
    return nullptr;
  if (!Value->is_array() || Value->size() > MaxCount) {
    fail(Key, jsonForError(*Value),
         fmt::format("a list of at most {} elements", MaxCount),
         "correct the value");
    return nullptr;
  }
  return Value;
}

std::vector<std::string> JsonFieldReader::optionalTexts(const char *Key,
                                                        std::size_t MaxCount) {
  std::vector<std::string> Texts;
  const Json *List = optionalList(Key, MaxCount);
  if (!List)
    return Texts;
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const Json &Element = (*List)[Index];
    if (!Element.is_string() ||
        Element.get_ref<const std::string &>().empty()) {
      fail(fmt::format("{}[{}]", Key, Index), jsonForError(Element),
           "a text that is not empty", "correct the element");
      return {};
    }
    Texts.push_back(Element.get<std::string>());
  }
  return Texts;
}

absl::Status JsonFieldReader::finish() {
  if (!m_Fault.ok())
    return m_Fault;
  for (const auto &Member : m_Object.items())
    if (m_ReadKeys.count(Member.key()) == 0) {
      fail(Member.key(), "an unknown key",
           fmt::format("the keys {}", absl::StrJoin(m_ReadKeys, ", ")),
           "remove the key or correct its spelling");
      break;
    }
  return m_Fault;
}

} // namespace fulmarwinch
