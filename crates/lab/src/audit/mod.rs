//! What a run left behind, checked and drawn.

pub mod rules;
pub mod timeline;
