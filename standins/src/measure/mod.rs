//! Measurements of whole systems and of single parts, where possible against a baseline in the same run.

pub mod broken_flows;
pub mod control;
pub mod deployment;
pub mod forward;
pub mod imbalance;
pub mod process_stats;
pub mod report;
pub mod zone;
