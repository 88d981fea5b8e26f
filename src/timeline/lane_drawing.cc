#include "timeline/lane_drawing.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <tuple>

#include "testing/event_line.h"

namespace jaymast {
namespace {

constexpr double kLabelWidth = 160;
constexpr double kDrawingWidth = 1400;
constexpr double kMargin = 20;
constexpr double kLaneHeight = 28;
constexpr double kHeaderHeight = 36;
constexpr double kMarkRadius = 4;
constexpr double kBarHeight = 10;
constexpr int kAxisTicks = 8;

/// Group of event kinds that share a colour.
enum class Group { kMembership, kConfiguration, kRequest, kTask, kRunner, kFault };

struct GroupStyle {
  std::string_view name;
  std::string_view colour;
};

constexpr std::array<GroupStyle, 6> kStyles = {{{"membership and ownership", "#6b4fa0"},
                                                {"configuration", "#b8860b"},
                                                {"requests", "#4a6f8a"},
                                                {"tasks", "#2a7ab0"},
                                                {"runners", "#2e8b57"},
                                                {"faults", "#c0392b"}}};

Group GroupOf(EventKind kind) {
  if (kind <= EventKind::kOwnerReleased) return Group::kMembership;
  if (kind <= EventKind::kConfigAccepted || kind == EventKind::kPlanMade) return Group::kConfiguration;
  if (kind <= EventKind::kReplySent || kind == EventKind::kKeyRefused) return Group::kRequest;
  if (kind <= EventKind::kAllotmentChanged) return Group::kTask;
  return kind == EventKind::kFault ? Group::kFault : Group::kRunner;
}

const GroupStyle& StyleOf(EventKind kind) { return kStyles.at(static_cast<std::size_t>(GroupOf(kind))); }

/// Positions of events in the drawing.
class Layout {
 public:
  explicit Layout(const std::vector<TimelineEvent>& events) {
    for (const TimelineEvent& item : events) m_lanes.try_emplace(item.event.process, 0);
    std::size_t number = 0;
    for (auto& [process, lane] : m_lanes) lane = number++;
    if (events.empty()) return;
    m_first = events.front().time.physical;
    m_last = std::max(m_first, events.back().time.physical);
  }

  double X(Time time) const {
    const auto span = static_cast<double>(std::max<std::int64_t>(1, (m_last - m_first).count()));
    return kLabelWidth + kDrawingWidth * static_cast<double>((time - m_first).count()) / span;
  }
  double Y(const std::string& process) const {
    return kHeaderHeight + kLaneHeight * (static_cast<double>(m_lanes.at(process)) + 0.5);
  }
  double Width() const { return kLabelWidth + kDrawingWidth + kMargin; }
  double Bottom() const { return kHeaderHeight + kLaneHeight * static_cast<double>(m_lanes.size()); }
  const std::map<std::string, std::size_t>& lanes() const { return m_lanes; }
  Time first() const { return m_first; }
  Time last() const { return m_last; }

 private:
  std::map<std::string, std::size_t> m_lanes;
  Time m_first;
  Time m_last;
};

std::string DrawAxis(const Layout& layout) {
  std::string svg;
  for (int tick = 0; tick <= kAxisTicks; ++tick) {
    const Time time = layout.first() + (layout.last() - layout.first()) * tick / kAxisTicks;
    const double x = layout.X(time);
    const double millis = static_cast<double>(ToMicros(time)) / 1000.0;
    svg += fmt::format("<line class=\"grid\" x1=\"{0:.1f}\" y1=\"{1}\" x2=\"{0:.1f}\" y2=\"{2:.1f}\"/>\n", x,
                       kHeaderHeight, layout.Bottom());
    svg += fmt::format("<text class=\"tick\" x=\"{:.1f}\" y=\"{}\">{:.3f} ms</text>\n", x, kHeaderHeight - 8, millis);
  }
  return svg;
}

std::string DrawLanes(const Layout& layout) {
  std::string svg;
  for (const auto& [process, number] : layout.lanes()) {
    const double y = layout.Y(process);
    svg += fmt::format("<line class=\"lane\" x1=\"{}\" y1=\"{:.1f}\" x2=\"{}\" y2=\"{:.1f}\"/>\n", kLabelWidth, y,
                       kLabelWidth + kDrawingWidth, y);
    svg += fmt::format("<text x=\"8\" y=\"{:.1f}\">{}</text>\n", y + 4, XmlText(process));
  }
  return svg;
}

/// Bars from the start of an attempt at a runner to its end. An attempt without an end is drawn to the right edge.
std::string DrawBars(const std::vector<TimelineEvent>& events, const Layout& layout) {
  using Attempt = std::tuple<std::string, TaskId, std::int64_t>;
  std::map<Attempt, Time> started;
  std::string svg;
  const auto bar = [&](const Attempt& attempt, Time from, Time to) {
    const auto& [process, task, number] = attempt;
    svg += fmt::format("<rect class=\"bar\" x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{}\">", layout.X(from),
                       layout.Y(process) - kBarHeight / 2, std::max(1.0, layout.X(to) - layout.X(from)), kBarHeight);
    svg += fmt::format("<title>{} attempt {}</title></rect>\n", XmlText(task.value()), number);
  };
  for (const TimelineEvent& item : events) {
    const Attempt attempt(item.event.process, item.event.task, item.event.attempt);
    if (item.event.kind == EventKind::kRunnerStarted) started[attempt] = item.time.physical;
    const auto start = started.find(attempt);
    if (item.event.kind != EventKind::kRunnerEnded || start == started.end()) continue;
    bar(attempt, start->second, item.time.physical);
    started.erase(start);
  }
  for (const auto& [attempt, time] : started) bar(attempt, time, layout.last());
  return svg;
}

std::string DrawCauses(const std::vector<TimelineEvent>& events, const Layout& layout) {
  std::string svg;
  for (const TimelineEvent& item : events) {
    if (!item.cause) continue;
    const TimelineEvent& cause = events[*item.cause];
    svg += fmt::format("<line class=\"cause\" x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\"/>\n",
                       layout.X(cause.time.physical), layout.Y(cause.event.process), layout.X(item.time.physical),
                       layout.Y(item.event.process));
  }
  return svg;
}

std::string DrawMarks(const std::vector<TimelineEvent>& events, const Layout& layout) {
  std::string svg;
  for (const TimelineEvent& item : events) {
    svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"{}\" fill=\"{}\"><title>{}</title></circle>\n",
                       layout.X(item.time.physical), layout.Y(item.event.process), kMarkRadius,
                       StyleOf(item.event.kind).colour, XmlText(EventLine(item.Dated())));
  }
  return svg;
}

std::string DrawLegend(double y) {
  std::string svg;
  double x = kLabelWidth;
  for (const GroupStyle& style : kStyles) {
    svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"{}\" fill=\"{}\"/>", x, y, kMarkRadius, style.colour);
    svg += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\">{}</text>\n", x + 10, y + 4, style.name);
    x += 200;
  }
  return svg;
}

constexpr char kSvgStyle[] =
    "<style>text{font:12px sans-serif;fill:#222}.tick{font-size:10px;fill:#666;text-anchor:middle}"
    ".grid{stroke:#eee}.lane{stroke:#bbb}.cause{stroke:#888;stroke-width:.6;stroke-dasharray:3 2}"
    ".bar{fill:#2e8b57;fill-opacity:.25}</style>\n";

constexpr char kPageHead[] =
    "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>Time line</title>\n"
    "<style>body{font:14px sans-serif;margin:1rem}div{overflow-x:auto}"
    "pre{margin:0;font-size:12px}input{width:40ch}</style>\n</head>\n<body>\n";

constexpr char kPageScript[] =
    "<script>\nconst search = document.getElementById('search');\n"
    "search.addEventListener('input', () => {\n"
    "  for (const line of document.querySelectorAll('pre')) line.hidden = !line.textContent.includes(search.value);\n"
    "});\n</script>\n</body>\n</html>\n";

}  // namespace

std::string XmlText(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '&') {
      escaped += "&amp;";
    } else if (c == '<') {
      escaped += "&lt;";
    } else if (c == '>') {
      escaped += "&gt;";
    } else if (c == '"') {
      escaped += "&quot;";
    } else {
      escaped += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
  }
  return escaped;
}

std::string DrawSvg(const std::vector<TimelineEvent>& events) {
  const Layout layout(events);
  const double legend_y = layout.Bottom() + 20;
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0:.0f}\" height=\"{1:.0f}\" "
      "viewBox=\"0 0 {0:.0f} {1:.0f}\">\n",
      layout.Width(), legend_y + kMargin);
  svg += kSvgStyle;
  svg += DrawAxis(layout);
  svg += DrawLanes(layout);
  svg += DrawBars(events, layout);
  svg += DrawCauses(events, layout);
  svg += DrawMarks(events, layout);
  svg += DrawLegend(legend_y);
  return svg + "</svg>\n";
}

std::string DrawHtml(const std::vector<TimelineEvent>& events) {
  std::string page = kPageHead;
  page += fmt::format("<h1>Time line</h1>\n<p>{} events</p>\n<div>\n{}</div>\n", events.size(), DrawSvg(events));
  page += "<p><label>Show lines with <input id=\"search\"></label></p>\n<div>\n";
  for (const TimelineEvent& item : events) page += fmt::format("<pre>{}</pre>\n", XmlText(EventLine(item.Dated())));
  return page + "</div>\n" + kPageScript;
}

}  // namespace jaymast
