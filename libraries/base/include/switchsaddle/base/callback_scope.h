#pragma once

#include <memory>
#include <utility>

namespace switchsaddle::base {

/**
 * Binds callbacks to the lifetime of the object that registers them: a callback wrapped by guard()
 * does nothing once its scope has been destroyed. Must be the last member of its owner, so that it
 * is destroyed before the members that the callbacks use. Runs on the owner's strand.
 */
class CallbackScope {
 public:
  CallbackScope() = default;
  CallbackScope(const CallbackScope&) = delete;
  CallbackScope& operator=(const CallbackScope&) = delete;

  /**
   * @param callback called with the arguments of the returned function; its result is ignored.
   * @return a function that calls the callback while the scope exists; copyable if the callback is.
   */
  template <class Callback>
  auto guard(Callback callback) const {
    return [scope = std::weak_ptr<const char>(token_),
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (!scope.expired()) {
        callback(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<const char> token_ = std::make_shared<const char>('\0');
};

}  // namespace switchsaddle::base
