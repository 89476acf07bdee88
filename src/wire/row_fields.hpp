#ifndef BORAGEHILL_WIRE_ROW_FIELDS_HPP
#define BORAGEHILL_WIRE_ROW_FIELDS_HPP

#include <boragehill/placement.hpp>
#include <boragehill/profile.hpp>
#include <boragehill/server_record.hpp>

#include "wire/field_codec.hpp"

namespace boragehill::wire {

/// The members of the values that lie in table rows, for the codec.
template <>
struct fields_of<placement> {
  template <class Self, class Visit>
  static void visit(Self& self, Visit&& take) {
    take("model", self.model);
    take("servers", self.servers);
  }
};

template <>
struct fields_of<grant> {
  template <class Self, class Visit>
  static void visit(Self& self, Visit&& take) {
    take("model", self.model);
    take("bytes", self.bytes);
    take("serial", self.serial);
  }
};

template <>
struct fields_of<server_record> {
  template <class Self, class Visit>
  static void visit(Self& self, Visit&& take) {
    take("id", self.id);
    take("fence", self.fence);
    take("capacity_bytes", self.capacity_bytes);
    take("failure_domain", self.failure_domain);
    take("pool", self.pool);
    take("grants", self.grants);
    take("last_serial", self.last_serial);
  }
};

template <>
struct fields_of<profile_model> {
  template <class Self, class Visit>
  static void visit(Self& self, Visit&& take) {
    take("name", self.name);
    take("bytes", self.bytes);
    take("adapters", self.adapters);
    take("adapter_bytes", self.adapter_bytes);
    take("replicas", self.replicas);
    take("max_replicas", self.max_replicas);
    take("warm", self.warm);
  }
};

template <>
struct fields_of<once_rule> {
  template <class Self, class Visit>
  static void visit(Self& self, Visit&& take) {
    take("method", self.method);
    take("path", self.path);
  }
};

template <>
struct fields_of<profile> {
  template <class Self, class Visit>
  static void visit(Self& self, Visit&& take) {
    take("name", self.name);
    take("revision", self.revision);
    take("services", self.services);
    take("models", self.models);
    take("pools", self.pools);
    take("non_idempotent", self.non_idempotent);
    take("max_wait_ms", self.max_wait);
    take("priority", self.priority);
    take("cold_start_weight", self.cold_start_weight);
    take("idle_weight", self.idle_weight);
  }
};

}  // namespace boragehill::wire

#endif  // BORAGEHILL_WIRE_ROW_FIELDS_HPP
