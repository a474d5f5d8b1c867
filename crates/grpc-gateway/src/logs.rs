//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging at a level, as text or JSON lines. Later calls have no effect.
pub fn start(level: &str, json: bool) {
    let filter =
        EnvFilter::try_new(format!("{level},h2=warn")).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = if json {
        builder.json().try_init()
    } else {
        builder.with_ansi(false).try_init()
    };
}
