#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>

namespace jaymast {

/// One JSON value in one table cell: texts without quotes, objects as "name=value", arrays separated by commas.
std::string CellText(const boost::json::value& value);

/// A JSON object of a view as text. Single values are listed first. Each array of objects becomes a table whose columns
/// are the fields in order of first appearance; a heading is added when there is more than one table.
std::string FormatView(const boost::json::object& view);

}  // namespace jaymast
