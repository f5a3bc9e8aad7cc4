#include "Explain.h"

#include "ConfigCommands.h"
#include "Options.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <set>

namespace teaselhitch {

namespace {

namespace json = boost::json;

std::string stringField(const json::object &Line, const char *Key) {
  const json::value *Value = Line.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string()) : "";
}

/// Returns the id of the request that an attempt belongs to, which is the id of
/// the attempt without its last number.
std::string requestId(const std::string &Attempt) {
  return Attempt.substr(0, Attempt.rfind('-'));
}

/// Returns the request id of a log line, or an empty string if the line does
/// not belong to a request.
std::string requestId(const json::object &Line) {
  std::string Attempt = stringField(Line, "attempt");
  return Attempt.empty() ? stringField(Line, "request_id") : requestId(Attempt);
}

/// Returns the JSON object of a log line, or nullopt if the line contains none.
std::optional<json::object> parseLine(const std::string &Text) {
  std::size_t Start = Text.find('{');
  if (Start == std::string::npos)
    return std::nullopt;
  json::error_code Code;
  json::value Parsed = json::parse(Text.substr(Start), Code);
  if (Code || !Parsed.is_object())
    return std::nullopt;
  return std::move(Parsed.as_object());
}

RequestEvent makeEvent(const json::object &Line) {
  RequestEvent Event;
  if (const json::value *Time = Line.if_contains("time_ms"))
    if (Time->is_number())
      Event.TimeMs = Time->to_number<double>();
  Event.Name = stringField(Line, "module") + " " + stringField(Line, "event");
  static const std::set<std::string> Excluded = {"time_ms", "level", "module",
                                                 "event", "request_id"};
  for (const auto &Field : Line) {
    if (Excluded.count(std::string(Field.key())) != 0)
      continue;
    std::string Value = Field.value().is_string()
                            ? std::string(Field.value().get_string())
                            : json::serialize(Field.value());
    Event.Fields += (Event.Fields.empty() ? "" : " ") +
                    std::string(Field.key()) + "=" + Value;
  }
  Event.Json = json::serialize(Line);
  return Event;
}

void print(const std::vector<RequestEvent> &Events, bool AsJson) {
  for (const RequestEvent &Event : Events) {
    if (AsJson)
      std::cout << Event.Json << '\n';
    else
      std::cout << '+' << std::fixed << std::setprecision(0)
                << Event.TimeMs - Events.front().TimeMs << " ms  " << Event.Name
                << "  " << Event.Fields << '\n';
  }
}

} // namespace

std::vector<RequestEvent> explainRequest(std::istream &Log,
                                         const std::string &Id) {
  std::vector<json::object> Lines;
  std::set<std::string> RequestIds = {Id, requestId(Id)};
  for (std::string Text; std::getline(Log, Text);) {
    std::optional<json::object> Line = parseLine(Text);
    if (!Line || requestId(*Line).empty())
      continue;
    if (stringField(*Line, "caller_id") == Id)
      RequestIds.insert(requestId(*Line));
    Lines.push_back(std::move(*Line));
  }
  std::vector<RequestEvent> Events;
  for (const json::object &Line : Lines)
    if (RequestIds.count(requestId(Line)) != 0)
      Events.push_back(makeEvent(Line));
  std::stable_sort(Events.begin(), Events.end(),
                   [](const RequestEvent &A, const RequestEvent &B) {
                     return A.TimeMs < B.TimeMs;
                   });
  return Events;
}

int runExplainCommand(const std::vector<std::string> &Args) {
  std::string Path;
  bool AsJson = false;
  std::string ErrorText;
  ParsedOptions Parsed = handleError(
      [&] {
        return parseOptions("teaselhitch explain", Args,
                            {{"log",
                              "log file to read; standard input if "
                              "not given",
                              "FILE", &Path, nullptr},
                             {"json", "print the log lines as JSON", nullptr,
                              nullptr, &AsJson}});
      },
      [&](const Error &E) {
        ErrorText = E.Message;
        return ParsedOptions();
      });
  if (Parsed.HelpShown)
    return ExitSuccess;
  if (ErrorText.empty() && Parsed.PositionalArgs.size() != 1)
    ErrorText = "expected exactly one request, attempt or caller id";
  std::ifstream File;
  if (ErrorText.empty() && !Path.empty()) {
    File.open(Path);
    if (!File)
      ErrorText = Path + ": cannot be read";
  }
  if (!ErrorText.empty()) {
    std::cerr << "teaselhitch explain: " << ErrorText << '\n';
    return ExitBadInput;
  }
  std::istream &Log = Path.empty() ? std::cin : File;
  std::vector<RequestEvent> Events =
      explainRequest(Log, Parsed.PositionalArgs.front());
  if (Events.empty()) {
    std::cerr << "teaselhitch explain: no log line has the id '"
              << Parsed.PositionalArgs.front() << "'\n";
    return ExitFailure;
  }
  print(Events, AsJson);
  return ExitSuccess;
}

} // namespace teaselhitch
