#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <sstream>

namespace Chicorytally::Tests {

/// Runs a RapidCheck property under a fixed seed, so that every run tests the same cases.
template <typename Testable> void checkProperty(std::string const& description, int cases, Testable&& testable)
{
    rc::detail::TestParams parameters;
    parameters.seed = 20'261'204;
    parameters.maxSuccess = cases;
    rc::detail::TestMetadata metadata { description, description };
    auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, parameters);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), text.str());
}

}
