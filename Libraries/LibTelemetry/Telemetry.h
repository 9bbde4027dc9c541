#pragma once

/// LibTelemetry: structured logs, metrics, traces and the HTTP server for operators and monitoring.

#include <LibTelemetry/AdminServer.h>
#include <LibTelemetry/EventLimiter.h>
#include <LibTelemetry/EventLog.h>
#include <LibTelemetry/Histogram.h>
#include <LibTelemetry/LineBuffer.h>
#include <LibTelemetry/Metrics.h>
#include <LibTelemetry/Tracer.h>
