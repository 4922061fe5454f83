#pragma once

#include <string>
#include <string_view>

namespace switchsaddle::testbed {

/** @return a response with Content-Length. @param header_lines each ends with CR LF. */
std::string responseText(int status, std::string_view header_lines, std::string_view body);
/** @return the head of a chunked event stream. @param header_lines each ends with CR LF. */
std::string streamHeadText(std::string_view header_lines);
/** @return one chunk; the last one if it is empty. */
std::string chunkText(std::string_view bytes);
/** @return one event of an event stream. */
std::string eventText(int number, std::string_view data);
/** @return a POST request. @param header_lines each ends with CR LF. */
std::string postText(std::string_view target, std::string_view header_lines, std::string_view body);
/** @return a POST request whose body comes in chunks. @param header_lines each ends with CR LF. */
std::string chunkedPostText(std::string_view target, std::string_view header_lines,
                            std::string_view body);

}  // namespace switchsaddle::testbed
