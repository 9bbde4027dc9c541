#define BOOST_TEST_MODULE chicorytally
#include <boost/test/unit_test.hpp>
