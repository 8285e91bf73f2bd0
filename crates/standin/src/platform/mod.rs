//! A complete fake platform: store, host list, workers and executors in several failure domains.

mod addresses;
mod layout;
mod platform_handle;
mod platform_settings;

pub use self::{
    addresses::Addresses, platform_handle::PlatformHandle, platform_settings::PlatformSettings,
};
