//! Sends calls to the gateways of the demo: `cargo run -p chalkdeck-client --example views -- 127.0.0.1:PORT`.
use bytes::Bytes;
use chalkdeck_client::{Call, Client, Idempotency, Settings};
use std::time::Duration;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let gateways = std::env::args()
        .skip(1)
        .map(|address| address.parse())
        .collect::<Result<Vec<_>, _>>()?;
    let client = Client::start(Settings::default(), gateways)?;
    for number in 0..20 {
        let reply = client.call(Call {
            path: "/farm.v1.Farm/View".into(),
            message: Bytes::from(format!("view {number}")),
            metadata: vec![("x-customer".into(), "harvest-1".into())],
            idempotency: Idempotency::Idempotent,
            key: None,
            timeout: Duration::from_secs(1),
        });
        println!(
            "{:?} after {} attempts, {} bytes",
            reply.outcome,
            reply.attempts,
            reply.message.map_or(0, |message| message.len())
        );
    }
    println!("{:?}", client.stats());
    Ok(())
}
