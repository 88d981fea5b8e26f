#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace jaymast {

/// Value at a quantile of a sample, 0 for an empty sample.
inline double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto last = static_cast<double>(values.size() - 1);
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(quantile * last);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

/// Collects rows of figures, prints them as Markdown tables and draws one bar chart for each figure.
class PolicyReport {
 public:
  using Figures = std::vector<std::pair<std::string, double>>;

  /// Starts a table and prints its head.
  void Table(const std::string& title, const std::vector<std::string>& columns) {
    m_title = title;
    fmt::print("\n### {}\n\n| policy | {} |\n|---|", title, fmt::join(columns, " | "));
    for (std::size_t i = 0; i < columns.size(); ++i) fmt::print("---|");
    fmt::print("\n");
    m_columns = columns;
  }

  void Row(const std::string& policy, const std::vector<double>& values) {
    fmt::print("| {} |", policy);
    for (std::size_t i = 0; i < values.size(); ++i) {
      fmt::print(" {:.4g} |", values[i]);
      Chart(m_title + ": " + m_columns.at(i)).emplace_back(policy, values[i]);
    }
    fmt::print("\n");
    std::fflush(stdout);
  }

  /// @return false when the file could not be written
  bool WriteSvg(const std::string& path) const {
    std::ofstream out(path);
    const auto height = (m_charts.size() + 1) / 2 * kChartHeight;
    out << fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' font-family='sans-serif'>\n",
                       2 * kChartWidth, height);
    for (std::size_t i = 0; i < m_charts.size(); ++i) {
      out << DrawChart(m_charts[i], i % 2 * kChartWidth, i / 2 * kChartHeight);
    }
    out << "</svg>\n";
    out.close();
    return out.good();
  }

 private:
  using Bars = std::vector<std::pair<std::string, double>>;

  static constexpr std::size_t kChartWidth = 620;
  static constexpr std::size_t kChartHeight = 130;
  static constexpr std::size_t kBarHeight = 18;
  static constexpr std::size_t kLabelWidth = 120;
  static constexpr double kLongestBar = 400;

  Bars& Chart(const std::string& title) {
    const auto same = [&title](const auto& chart) { return chart.first == title; };
    const auto known = std::find_if(m_charts.begin(), m_charts.end(), same);
    if (known != m_charts.end()) return known->second;
    m_charts.emplace_back(title, Bars{});
    return m_charts.back().second;
  }

  static std::string DrawChart(const std::pair<std::string, Bars>& chart, std::size_t x, std::size_t y) {
    double largest = 0;
    for (const auto& [policy, value] : chart.second) largest = std::max(largest, value);
    std::string svg = fmt::format("<text x='{}' y='{}' font-size='13'>{}</text>\n", x + 10, y + 20, chart.first);
    std::size_t top = y + 28;
    for (const auto& [policy, value] : chart.second) {
      const double length = largest > 0 ? kLongestBar * value / largest : 0;
      svg += fmt::format("<text x='{}' y='{}' font-size='11'>{}</text>", x + 10, top + 13, policy);
      svg += fmt::format("<rect x='{}' y='{}' width='{:.1f}' height='{}' fill='#4878a8'/>", x + kLabelWidth, top,
                         length, kBarHeight - 4);
      svg += fmt::format("<text x='{:.1f}' y='{}' font-size='11'>{:.4g}</text>\n",
                         static_cast<double>(x + kLabelWidth) + length + 4, top + 12, value);
      top += kBarHeight;
    }
    return svg;
  }

  std::string m_title;
  std::vector<std::string> m_columns;
  std::vector<std::pair<std::string, Bars>> m_charts;
};

}  // namespace jaymast
