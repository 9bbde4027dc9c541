#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>

#include <functional>
#include <optional>
#include <string>

namespace Chicorytally::Relay {

/// How a source's answers are read.
struct AnswerFormat {
    /// Decodes the body of an answer with status 200; nothing with a cause when it can't be read.
    std::function<std::optional<Distribution::StoreAnswer>(std::string const& body, std::string& cause)> decode;
    /// What another status means.
    std::function<Distribution::StoreFailure(int status)> failureOf;
};

/// A callback for an HTTP request that hands its response on as an answer of a source.
EventLoop::HttpClient::Callback answerHandler(AnswerFormat, Distribution::StoreCallback);

}
