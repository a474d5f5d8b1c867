//! Generates Rust types from the .proto files with protox, so that no `protoc` is needed, and writes the descriptors that the
//! protobuf text format needs.
use prost::Message;

const PROTO_FILES: [&str; 13] = [
    "chalkdeck/client/v1/settings.proto",
    "chalkdeck/keeper/v1/keeper.proto",
    "chalkdeck/keeper/v1/settings.proto",
    "chalkdeck/keeper/v1/state.proto",
    "chalkdeck/lab/v1/day.proto",
    "chalkdeck/plan/v1/plan.proto",
    "chalkdeck/config/v1/config.proto",
    "chalkdeck/counter/v1/counter.proto",
    "chalkdeck/counter/v1/log.proto",
    "chalkdeck/counter/v1/settings.proto",
    "envoy/config/endpoint/v3/endpoint.proto",
    "google/rpc/error_details.proto",
    "google/rpc/status.proto",
];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let descriptors = protox::compile(PROTO_FILES, ["proto"])?;
    let out_dir = std::path::PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out_dir.join("descriptors.bin"), descriptors.encode_to_vec())?;
    prost_build::Config::new()
        .include_file("all.rs")
        .compile_fds(descriptors)?;
    Ok(())
}
