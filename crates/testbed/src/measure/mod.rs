//! Measurements that compare variants side by side, one subcommand in each file.

pub mod counter_throughput;
pub mod flood;
pub mod gateway_overhead;
pub mod quota_retries;
pub mod reconnect;
pub mod resp_throughput;
pub mod site_loss;
