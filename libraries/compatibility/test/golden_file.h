#pragma once

#include <string>
#include <string_view>

namespace switchsaddle::compatibility {

/** The bytes as lowercase hexadecimal digits. */
std::string hexText(std::string_view bytes);

/**
 * Fails the current test where the text differs from the golden file of that name, and then names
 * the first line that differs. Golden files were written by earlier releases, whose peers and data
 * folders must stay readable: they are never brought up to date.
 */
void expectGolden(const std::string& name, const std::string& actual);

}  // namespace switchsaddle::compatibility
