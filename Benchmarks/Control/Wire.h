#pragma once

#include <Report/FigureReport.h>

namespace Chicorytally::Benchmarks {

/// Sizes of sealed messages of the other libraries, from their Thrift structs, and the control traffic that follows
/// from them per open, per tracked bucket and per upstream.
void measureWireSizes(FigureReport&);

}
