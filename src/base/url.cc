// Compiles Boost.URL, in this translation unit only.
#include <boost/url/src.hpp>
