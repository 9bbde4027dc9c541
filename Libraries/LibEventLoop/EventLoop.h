#pragma once

/// LibEventLoop: a single-threaded event loop based on libevent, with timers, signals, an HTTP client, an HTTP server
/// and connection probes. Not thread-safe; every callback runs on the thread that called Loop::run().

#include <LibEventLoop/ConnectionProbe.h>
#include <LibEventLoop/HttpClient.h>
#include <LibEventLoop/HttpServer.h>
#include <LibEventLoop/Loop.h>
