#include <Report/FigureReport.h>

#include <iomanip>
#include <iostream>
#include <sstream>

namespace Chicorytally::Benchmarks {

static std::string text(double value)
{
    std::ostringstream stream;
    stream << std::setprecision(6) << value;
    return stream.str();
}

void FigureReport::print(
    std::string_view name, double value, std::string_view bound, std::string_view unit, bool isWithin)
{
    m_isWithinBounds = m_isWithinBounds && isWithin;
    std::cout << "figure=" << name << " value=" << text(value) << " bound=" << bound << " unit=" << unit;
    if (!isWithin)
        std::cout << " past_bound=yes";
    std::cout << std::endl;
}

void FigureReport::add(std::string_view name, double value, std::string_view unit)
{
    print(name, value, "none", unit, true);
}

void FigureReport::addAtMost(std::string_view name, double value, double bound, std::string_view unit)
{
    print(name, value, "<=" + text(bound), unit, value <= bound);
}

void FigureReport::addAtLeast(std::string_view name, double value, double bound, std::string_view unit)
{
    print(name, value, ">=" + text(bound), unit, value >= bound);
}

}
