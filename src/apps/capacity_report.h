#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace jaymast {

/// Straight line through measured points, and how fast the figure grows between the last two sizes.
struct LineFit {
  double at_zero = 0;
  double slope = 0;
  double last_exponent = 0;  ///< 1 for proportional growth, 2 for growth with the square
};

/// Least squares fit of a line.
inline LineFit FitLine(const std::vector<std::pair<double, double>>& points) {
  LineFit fit;
  double sum_x = 0;
  double sum_y = 0;
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
  }
  const auto count = static_cast<double>(points.size());
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : points) {
    covariance += (x - sum_x / count) * (y - sum_y / count);
    variance += (x - sum_x / count) * (x - sum_x / count);
  }
  fit.slope = variance > 0 ? covariance / variance : 0;
  fit.at_zero = sum_y / count - fit.slope * sum_x / count;
  if (points.size() < 2) return fit;
  const auto& [last_x, last_y] = points.back();
  const auto& [x, y] = points[points.size() - 2];
  if (x > 0 && y > 0 && last_y > 0) fit.last_exponent = std::log(last_y / y) / std::log(last_x / x);
  return fit;
}

/// Collects figures measured at several sizes, prints them with their fits and draws one line plot a figure.
class CapacityReport {
 public:
  using Figures = std::vector<std::pair<std::string, double>>;

  void Begin(const std::string& dimension) {
    m_dimension = dimension;
    m_sizes.clear();
    m_series.clear();
  }

  void Add(double size, const Figures& figures) {
    m_sizes.push_back(size);
    for (const auto& [name, value] : figures) {
      const auto same = [&name = name](const Series& series) { return series.name == name; };
      auto known = std::find_if(m_series.begin(), m_series.end(), same);
      if (known == m_series.end()) known = m_series.insert(m_series.end(), Series{name, {}});
      known->points.emplace_back(size, value);
    }
  }

  void End() {
    fmt::print("\n### {}\n\n| figure |", m_dimension);
    for (const double size : m_sizes) fmt::print(" {:.0f} |", size);
    fmt::print(" at 0 | per unit | exponent |\n|---|");
    for (std::size_t i = 0; i < m_sizes.size() + 3; ++i) fmt::print("---|");
    fmt::print("\n");
    for (const Series& series : m_series) {
      fmt::print("| {} |", series.name);
      for (const auto& [size, value] : series.points) fmt::print(" {:.4g} |", value);
      const LineFit fit = FitLine(series.points);
      fmt::print(" {:.4g} | {:.4g} | {:.2f} |\n", fit.at_zero, fit.slope, fit.last_exponent);
      m_plots.push_back({series.name + " by " + m_dimension, series.points});
    }
    std::fflush(stdout);
  }

  /// @return false when the file could not be written
  bool WriteSvg(const std::string& path) const {
    std::ofstream out(path);
    const std::size_t rows = (m_plots.size() + kColumns - 1) / kColumns;
    out << fmt::format("<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' font-family='sans-serif'>\n",
                       kColumns * kWidth, rows * kHeight);
    for (std::size_t i = 0; i < m_plots.size(); ++i) {
      out << Draw(m_plots[i], i % kColumns * kWidth, i / kColumns * kHeight);
    }
    out << "</svg>\n";
    out.close();
    return out.good();
  }

 private:
  struct Series {
    std::string name;
    std::vector<std::pair<double, double>> points;
  };

  static constexpr std::size_t kColumns = 4;
  static constexpr std::size_t kWidth = 300;
  static constexpr std::size_t kHeight = 160;
  static constexpr double kPlotWidth = 210;
  static constexpr double kPlotHeight = 90;
  static constexpr double kMargin = 20;

  static std::string Draw(const Series& series, std::size_t x, std::size_t y) {
    double largest = 0;
    for (const auto& [size, value] : series.points) largest = std::max(largest, value);
    const double left = static_cast<double>(x) + kMargin;
    const double bottom = static_cast<double>(y) + kMargin + kMargin / 2 + kPlotHeight;
    std::string svg = fmt::format("<text x='{}' y='{}' font-size='11'>{}</text>\n", left, y + 18, series.name);
    svg += fmt::format("<path d='M{} {}v{}h{}' fill='none' stroke='#888'/>\n", left, bottom - kPlotHeight, kPlotHeight,
                       kPlotWidth);
    std::string line;
    for (const auto& [size, value] : series.points) {
      const double at_x = left + kPlotWidth * size / series.points.back().first;
      const double at_y = bottom - (largest > 0 ? kPlotHeight * value / largest : 0);
      line += fmt::format("{:.1f},{:.1f} ", at_x, at_y);
      svg += fmt::format("<circle cx='{:.1f}' cy='{:.1f}' r='2.5' fill='#4878a8'/>", at_x, at_y);
      svg += fmt::format("<text x='{:.1f}' y='{:.1f}' font-size='9'>{:.0f}</text>\n", at_x - 8, bottom + 12, size);
    }
    svg += fmt::format("<polyline points='{}' fill='none' stroke='#4878a8'/>\n", line);
    return svg + fmt::format("<text x='{}' y='{}' font-size='9'>{:.4g}</text>\n", left + 3, bottom - kPlotHeight + 8,
                             largest);
  }

  std::string m_dimension;
  std::vector<double> m_sizes;
  std::vector<Series> m_series;
  std::vector<Series> m_plots;
};

}  // namespace jaymast
