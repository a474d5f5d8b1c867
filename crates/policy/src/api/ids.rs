//! Ids. They carry no meaning beyond equality and order.

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// One try of a client.
    RequestId, u64);
id!(/// A customer, whose quota all gateways share.
    CustomerId, u64);
id!(/// A server of the back end; every gateway knows it by the same number.
    EndpointId, u64);
id!(/// A place in `Settings::classes`.
    ClassId, usize);
id!(/// A place in `Settings::plans`.
    PlanId, usize);
id!(/// A zone, numbered as the gateway was told.
    ZoneId, u32);
id!(/// A group of servers that share which keys they have seen.
    CellId, u64);
id!(/// A number kept by the counter service.
    CounterKey, u64);
id!(/// A timer, chosen by the module.
    TimerId, u64);
