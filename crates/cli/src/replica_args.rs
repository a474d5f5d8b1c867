//! Arguments of commands that talk to the coordinator.

use crate::failure::Failure;
use chalkdeck_coordinator::client::CoordinatorClient;
use chalkdeck_time::TimeDelta;
use clap::Args;
use std::net::SocketAddr;

/// Replicas of the coordinator, and the timeout of requests to them.
#[derive(Args)]
pub struct ReplicaArgs {
    /// Addresses of the replicas, as ip:port
    #[arg(long, alias = "keepers", value_delimiter = ',', required = true)]
    pub replicas: Vec<SocketAddr>,
    /// Seconds to wait for a response, and for a proposal to be in force
    #[arg(long, default_value_t = 10)]
    pub wait: u64,
}

impl ReplicaArgs {
    /// A client of these replicas.
    pub fn client(&self) -> Result<CoordinatorClient, Failure> {
        Ok(CoordinatorClient::new(self.replicas.clone())?)
    }

    /// The timeout of a request.
    pub fn timeout(&self) -> TimeDelta {
        TimeDelta::from_secs(self.wait)
    }
}
