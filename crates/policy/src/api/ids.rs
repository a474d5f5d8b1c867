//! Ids. They carry no meaning beyond equality and order.

/// A newtype over a number.
macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// A request of a client; its retry is another one.
    RequestId, u64);
id!(/// A customer, whose quota all gateways share.
    CustomerId, u64);
id!(/// A back-end server; the same at every gateway.
    EndpointId, u64);
id!(/// An index of `Settings::classes`.
    ClassId, usize);
id!(/// An index of `Settings::plans`.
    PlanId, usize);
id!(/// A zone.
    ZoneId, u32);
id!(/// A group of endpoints that share the idempotency keys they have seen.
    CellId, u64);
id!(/// The key of one counter at the counter service.
    CounterKey, u64);
id!(/// A timer; the engine chooses the ids.
    TimerId, u64);
