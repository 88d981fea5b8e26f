#include "cli/plan_text.h"

#include <fmt/format.h>

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <string_view>
#include <vector>

#include "cli/text_table.h"
#include "cli/view_text.h"

namespace jaymast {
namespace {

namespace json = boost::json;

/// A list of a plan: name of the field, heading, mark at the start of each line, and tone.
struct Section {
  std::string_view field;
  std::string_view heading;
  char mark;
  Tone tone;
};

constexpr std::array<Section, 4> kSections = {{{"starts", "Starts", '+', Tone::kAdded},
                                               {"moves", "Moves", '~', Tone::kChanged},
                                               {"stops", "Stops", '-', Tone::kRemoved},
                                               {"refusals", "Refusals", '!', Tone::kWarning}}};

const json::array* FindArray(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_array();
}

const json::object* FindObject(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_object();
}

std::string FieldText(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? "?" : CellText(*value);
}

std::string IntentText(const json::object& intent) {
  std::string text = FieldText(intent, "type");
  for (const auto& field : intent) {
    if (field.key() == "type") continue;
    text += fmt::format(" {}={}", std::string_view(field.key()), CellText(field.value()));
  }
  return text;
}

std::string FormatChanges(const json::array& intents, const Palette& palette) {
  std::string text = "\n" + palette.Paint(Tone::kHeading, fmt::format("Changes ({})", intents.size())) + "\n";
  for (const json::value& intent : intents) {
    const std::string line = intent.is_object() ? IntentText(intent.get_object()) : CellText(intent);
    text += palette.Paint(Tone::kChanged, "  * " + line) + "\n";
  }
  return text;
}

std::string FormatSection(const Section& section, const json::array& items, const Palette& palette) {
  std::string text = "\n" + palette.Paint(Tone::kHeading, fmt::format("{} ({})", section.heading, items.size())) + "\n";
  for (const json::value& item : items) {
    text += palette.Paint(section.tone, fmt::format("  {} {}", section.mark, CellText(item))) + "\n";
  }
  return text;
}

std::string FormatCapacity(const json::object& capacity) {
  TextTable table({"domain", "cpu_millis", "memory_mb", "accelerators", "slots"});
  for (const auto& field : capacity) {
    if (!field.value().is_object()) continue;
    const json::object& resources = field.value().get_object();
    table.AddRow({std::string(field.key()), FieldText(resources, "cpu_millis"), FieldText(resources, "memory_mb"),
                  FieldText(resources, "accelerators"), FieldText(resources, "slots")});
  }
  return table.ToString(2);
}

std::string FormatHeadroom(const json::object& headroom) {
  TextTable table({"team", "headroom"});
  for (const auto& field : headroom) table.AddRow({std::string(field.key()), CellText(field.value())});
  return table.ToString(2);
}

}  // namespace

std::string FormatPlan(const json::object& plan, const Palette& palette) {
  std::string text = fmt::format("Plan {}, made from configuration version {}\n", FieldText(plan, "id"),
                                 FieldText(plan, "base_version"));
  if (const json::array* intents = FindArray(plan, "intents")) text += FormatChanges(*intents, palette);
  for (const Section& section : kSections) {
    const json::array* items = FindArray(plan, section.field);
    if (items != nullptr && !items->empty()) text += FormatSection(section, *items, palette);
  }
  const json::object* capacity = FindObject(plan, "capacity");
  if (capacity != nullptr && !capacity->empty()) {
    text += "\n" + palette.Paint(Tone::kHeading, "Capacity per failure domain afterwards") + "\n";
    text += FormatCapacity(*capacity);
  }
  const json::object* headroom = FindObject(plan, "headroom");
  if (headroom != nullptr && !headroom->empty()) {
    text += "\n" + palette.Paint(Tone::kHeading, "Headroom per team afterwards, in tasks") + "\n";
    text += FormatHeadroom(*headroom);
  }
  return text;
}

}  // namespace jaymast
