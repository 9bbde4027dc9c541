#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>

#include <functional>
#include <optional>
#include <string>

namespace Chicorytally::Relay {

/// Defines how the HTTP responses of a source are interpreted.
struct AnswerFormat {
    /// Decodes a response with status 200. Returns nothing and sets the cause if it is malformed.
    std::function<std::optional<Distribution::StoreAnswer>(EventLoop::HttpResponse const&, std::string& cause)> decode;
    /// Maps any other status to a failure.
    std::function<Distribution::StoreFailure(int status)> failureOf;
};

/// Returns an HTTP callback that converts the response to a StoreAnswer or StoreFailure and passes it to the callback.
EventLoop::HttpClient::Callback answerHandler(AnswerFormat, Distribution::StoreCallback);

}
