//! Types that the gateway's files pass round. Nothing here knows the files above.

pub(crate) mod call_head;
pub(crate) mod failed;
pub(crate) mod server;
pub(crate) mod settings;
