//! Identifiers. Their values have no meaning beyond equality and order; the exceptions are
//! [`ClassId`] and [`PlanId`], which are indices.

/// Defines an identifier as a newtype over a number.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// A request of a client. A retry by the client has an id of its own.
    RequestId, u64);
id!(/// A customer. Its quota holds over all gateways together.
    CustomerId, u64);
id!(/// An endpoint of the back end. Every gateway uses the same id for it.
    EndpointId, u64);
id!(/// An index of `Settings::classes`.
    ClassId, usize);
id!(/// An index of `Settings::plans`.
    PlanId, usize);
id!(/// A zone of endpoints and gateways.
    ZoneId, u32);
id!(/// A group of endpoints that share one store of idempotency keys.
    CellId, u64);
id!(/// The key of one counter in the counter service.
    CounterKey, u64);
id!(/// A timer. The engine assigns the ids.
    TimerId, u64);
