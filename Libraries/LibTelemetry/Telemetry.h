#pragma once

/// LibTelemetry: structured logs, metrics and traces.

#include <LibTelemetry/EventLog.h>
