#pragma once

#include <string>
#include <string_view>

namespace switchsaddle::compatibility {

/** The bytes as lowercase hexadecimal digits. */
std::string hexText(std::string_view bytes);

/**
 * Fails the current test if the text differs from the golden file of that name, and reports the
 * first line that differs. Golden files were written by earlier releases, and the messages and data
 * folders of those releases must stay readable. Golden files are therefore never updated.
 */
void expectGolden(const std::string& name, const std::string& actual);

}  // namespace switchsaddle::compatibility
