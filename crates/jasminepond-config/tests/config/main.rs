//! Tests of the configuration: merging, mistakes, acceptance, differences,
//! settings, examples and the reference documentation.

mod acceptance;
mod base;
mod diff;
mod examples;
mod folder;
mod merging;
mod mistakes;
mod reference;
mod review;
mod robustness;
mod settings;
