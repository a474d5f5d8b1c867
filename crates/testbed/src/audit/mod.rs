//! Checks, evaluation and charts of the logs of a run.

pub mod rules;
pub mod site_loss;
pub mod site_loss_chart;
pub mod timeline;
