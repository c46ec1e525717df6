//! The settings, from the crate that reads them.

pub use cloverpier_settings::FrontSettings;
