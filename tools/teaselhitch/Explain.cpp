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

std::string textOf(const json::object &Line, const char *Key) {
  const json::value *Value = Line.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string()) : "";
}

/// The request that an attempt belongs to: its id without the last number.
std::string requestOf(const std::string &Attempt) {
  return Attempt.substr(0, Attempt.rfind('-'));
}

std::string requestOf(const json::object &Line) {
  std::string Attempt = textOf(Line, "attempt");
  return Attempt.empty() ? textOf(Line, "request_id") : requestOf(Attempt);
}

/// The JSON object of a line, or nothing.
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

ExplainedLine explainLine(const json::object &Line) {
  ExplainedLine Explained;
  if (const json::value *Time = Line.if_contains("time_ms"))
    if (Time->is_number())
      Explained.TimeMs = Time->to_number<double>();
  Explained.Event = textOf(Line, "module") + " " + textOf(Line, "event");
  static const std::set<std::string> Shown = {"time_ms", "level", "module",
                                              "event", "request_id"};
  for (const auto &Field : Line) {
    if (Shown.count(std::string(Field.key())) != 0)
      continue;
    std::string Value = Field.value().is_string()
                            ? std::string(Field.value().get_string())
                            : json::serialize(Field.value());
    Explained.Inputs += (Explained.Inputs.empty() ? "" : " ") +
                        std::string(Field.key()) + "=" + Value;
  }
  Explained.Json = json::serialize(Line);
  return Explained;
}

void print(const std::vector<ExplainedLine> &Lines, bool AsJson) {
  for (const ExplainedLine &Line : Lines) {
    if (AsJson)
      std::cout << Line.Json << '\n';
    else
      std::cout << '+' << std::fixed << std::setprecision(0)
                << Line.TimeMs - Lines.front().TimeMs << " ms  " << Line.Event
                << "  " << Line.Inputs << '\n';
  }
}

} // namespace

std::vector<ExplainedLine> explainRequest(std::istream &Log,
                                          const std::string &Id) {
  std::vector<json::object> Lines;
  std::set<std::string> Requests = {Id, requestOf(Id)};
  for (std::string Text; std::getline(Log, Text);) {
    std::optional<json::object> Line = parseLine(Text);
    if (!Line || requestOf(*Line).empty())
      continue;
    if (textOf(*Line, "caller_id") == Id)
      Requests.insert(requestOf(*Line));
    Lines.push_back(std::move(*Line));
  }
  std::vector<ExplainedLine> Explained;
  for (const json::object &Line : Lines)
    if (Requests.count(requestOf(Line)) != 0)
      Explained.push_back(explainLine(Line));
  std::stable_sort(Explained.begin(), Explained.end(),
                   [](const ExplainedLine &A, const ExplainedLine &B) {
                     return A.TimeMs < B.TimeMs;
                   });
  return Explained;
}

int runExplainCommand(const std::vector<std::string> &Args) {
  std::string Path;
  bool AsJson = false;
  std::string Fault;
  ReadOptions Read = handleError(
      [&] {
        return readOptions("teaselhitch explain", Args,
                           {{"log",
                             "file with log lines; standard input "
                             "without it",
                             "FILE", &Path, nullptr},
                            {"json", "print the lines themselves", nullptr,
                             nullptr, &AsJson}});
      },
      [&](const Error &E) {
        Fault = E.Message;
        return ReadOptions();
      });
  if (Read.HelpShown)
    return ExitDone;
  if (Fault.empty() && Read.Rest.size() != 1)
    Fault = "expected one id";
  std::ifstream File;
  if (Fault.empty() && !Path.empty()) {
    File.open(Path);
    if (!File)
      Fault = Path + ": cannot be read";
  }
  if (!Fault.empty()) {
    std::cerr << "teaselhitch explain: " << Fault << '\n';
    return ExitBadInput;
  }
  std::istream &Log = Path.empty() ? std::cin : File;
  std::vector<ExplainedLine> Lines = explainRequest(Log, Read.Rest.front());
  if (Lines.empty()) {
    std::cerr << "teaselhitch explain: no line of '" << Read.Rest.front()
              << "'\n";
    return ExitRefused;
  }
  print(Lines, AsJson);
  return ExitDone;
}

} // namespace teaselhitch
