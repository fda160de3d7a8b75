// Non-owning pointers that become empty when the object they point to is destroyed.
//
// Timers and coroutines can outlive the object that started them. They hold a WeakPtr and check it after
// every point at which the object may have been destroyed. An object and its weak pointers belong to one
// strand.
#pragma once

#include <memory>
#include <utility>

namespace sablelink {

/// Points to an object without owning it; empty once the object's WeakPtrFactory has been invalidated or
/// destroyed.
template <typename T>
class WeakPtr {
 public:
  WeakPtr() = default;

  T* get() const { return object_ == nullptr ? nullptr : *object_; }
  explicit operator bool() const { return get() != nullptr; }
  T* operator->() const { return get(); }
  T& operator*() const { return *get(); }

 private:
  template <typename U>
  friend class WeakPtrFactory;
  explicit WeakPtr(std::shared_ptr<T*> object) : object_(std::move(object)) {}

  std::shared_ptr<T*> object_;
};

/// Creates weak pointers to its owner. Must be the owner's last member, so that it is destroyed first. If the
/// owner's destructor has a body, its first statement must be a call of invalidate().
template <typename T>
class WeakPtrFactory {
 public:
  explicit WeakPtrFactory(T* owner) : object_(std::make_shared<T*>(owner)) {}
  WeakPtrFactory(const WeakPtrFactory&) = delete;
  WeakPtrFactory& operator=(const WeakPtrFactory&) = delete;
  ~WeakPtrFactory() { invalidate(); }

  WeakPtr<T> get_weak_ptr() const { return WeakPtr<T>(object_); }
  /// Empties all weak pointers, both those already created and those created later.
  void invalidate() { *object_ = nullptr; }

 private:
  std::shared_ptr<T*> object_;
};

}  // namespace sablelink
