#pragma once

/// LibEventLoop: a single-threaded loop over libevent with timers, signals, an HTTP client, an HTTP server and
/// connection probes. Nothing here is thread-safe; every callback runs on the thread that called Loop::run().

#include <LibEventLoop/ConnectionProbe.h>
#include <LibEventLoop/HttpClient.h>
#include <LibEventLoop/HttpServer.h>
#include <LibEventLoop/Loop.h>
