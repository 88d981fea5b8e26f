#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "timeline/timeline_event.h"

namespace jaymast {

/// Escapes a text for use in XML and HTML. Control characters, which XML does not allow, become spaces.
std::string XmlText(std::string_view text);

/// Draws one lane per process as an SVG document: marks for events, bars for tasks that run, lines from causes in other
/// processes. Each mark has the event's line as its title.
std::string DrawSvg(const std::vector<TimelineEvent>& events);

/// A self-contained HTML page with the drawing and a table of the events that can be searched.
std::string DrawHtml(const std::vector<TimelineEvent>& events);

}  // namespace jaymast
