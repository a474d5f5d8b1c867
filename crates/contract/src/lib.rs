//! Checks whether a new version of a service is compatible with the versions that subscribers still use. Does no I/O.
//!
//! A publisher offers a service and proposes its versions. Subscribers are the customers that call it.
//!
//! A [`ServiceVersion`] holds the descriptors of a service and a [`Promise`] for each of its methods. [`find_incompatibilities`] reads
//! requests of old subscribers with the new descriptors and responses of the new publisher with the old descriptors, at a
//! [`CompatibilityLevel`], and returns each [`Incompatibility`] with a [`Witness`]. [`VersionsInUse`] tracks which versions are in
//! use, and [`hold_back()`] finds the endpoints that get no calls because their version was not admitted.
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

pub use hold_back::{hold_back, EndpointContract, HoldBack};
pub use incompatibility::{Direction, Incompatibility, Witness};
pub use promise::{Idempotency, KeyScope, Promise, SubscriberBounds};
pub use rule::CompatibilityRule;
pub use service_check::find_incompatibilities;
pub use service_version::{CompatibilityLevel, ServiceVersion, VersionError, MAX_DESCRIPTOR_BYTES};
pub use versions_in_use::{VersionUse, VersionUser, VersionsInUse};
