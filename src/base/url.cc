// The single translation unit that compiles Boost.URL.
#include <boost/url/src.hpp>
