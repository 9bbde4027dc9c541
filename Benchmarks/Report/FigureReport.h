#pragma once

#include <optional>
#include <string_view>

namespace Chicorytally::Benchmarks {

/// Prints `figure=NAME value=V bound=B unit=U` lines and remembers whether a figure is past its bound.
class FigureReport {
public:
    /// A figure without a bound.
    void add(std::string_view name, double value, std::string_view unit);
    void addAtMost(std::string_view name, double value, double bound, std::string_view unit);
    void addAtLeast(std::string_view name, double value, double bound, std::string_view unit);

    bool isWithinBounds() const { return m_isWithinBounds; }
    /// 0 when all figures are within their bounds, else 1.
    int exitCode() const { return m_isWithinBounds ? 0 : 1; }

private:
    void print(std::string_view name, double value, std::string_view bound, std::string_view unit, bool isWithin);

    bool m_isWithinBounds { true };
};

}
