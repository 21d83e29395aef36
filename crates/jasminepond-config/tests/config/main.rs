//! Tests of the configuration: merging, mistakes, acceptance, settings,
//! examples and the manual.

mod acceptance;
mod base;
mod diff;
mod examples;
mod folder;
mod manual;
mod merging;
mod mistakes;
mod robustness;
mod settings;
