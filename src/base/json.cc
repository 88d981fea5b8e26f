// The single translation unit that compiles Boost.JSON.
#include <boost/json/src.hpp>
