#include <LibRelay/AnswerHandler.h>

namespace Chicorytally::Relay {

using Distribution::StoreFailure;

static constexpr int StatusOk = 200;

EventLoop::HttpClient::Callback answerHandler(AnswerFormat format, Distribution::StoreCallback callback)
{
    return [format = std::move(format), callback = std::move(callback)](auto response, EventLoop::HttpError error) {
        if (!response) {
            bool isTooLarge = error == EventLoop::HttpError::TooLarge;
            callback(std::nullopt, isTooLarge ? StoreFailure::AnswerTooLarge : StoreFailure::Unreachable,
                std::string { toString(error) });
            return;
        }
        if (response->status != StatusOk) {
            callback(std::nullopt, format.failureOf(response->status), "status " + std::to_string(response->status));
            return;
        }
        std::string cause;
        auto answer = format.decode(*response, cause);
        callback(std::move(answer), StoreFailure::Malformed, cause);
    };
}

}
