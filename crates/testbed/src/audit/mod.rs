//! What a run left behind, checked and drawn.

pub mod rules;
pub mod site_chart;
pub mod sites;
pub mod timeline;
