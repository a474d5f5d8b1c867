//! Whether a service's new version is compatible with those that subscribers still use, free of I/O.
//!
//! A [`ServiceVersion`] is a set of descriptors together with what the gateways' decisions promise of each method.
//! [`find_incompatibilities`] reads old requests by the new publisher's descriptors and new responses by old subscribers', at a
//! [`CompatibilityLevel`], and gives each [`Incompatibility`] with a witness. [`VersionsInUse`] knows which versions are in use, and
//! [`hold_back`] which servers get no calls because their version was not admitted.
#![forbid(unsafe_code)]

mod hold_back;
mod incompatibility;
mod kinds;
mod message_check;
mod promise;
mod promise_check;
mod rule;
mod samples;
mod service_check;
mod service_version;
mod versions_in_use;
mod witness;

pub use hold_back::{hold_back, HoldBack, ServerContract};
pub use incompatibility::{Direction, Incompatibility, Witness};
pub use promise::{Idempotency, KeyScope, Promise, SubscriberBounds};
pub use rule::CompatibilityRule;
pub use service_check::find_incompatibilities;
pub use service_version::{CompatibilityLevel, ServiceVersion, VersionError, MAX_DESCRIPTOR_BYTES};
pub use versions_in_use::{VersionUse, VersionUser, VersionsInUse};
