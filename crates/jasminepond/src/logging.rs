//! Setup of the log on standard error.

use std::{error::Error, sync::Arc};

use jasminepond_config::{LogFormat, LogLevel};
use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::StdStreamSink,
};

fn filter(level: LogLevel) -> LevelFilter {
    let min_level = match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    };
    LevelFilter::MoreSevereEqual(min_level)
}

/// Writes log records of `level` and above to standard error.
///
/// # Errors
///
/// The sink cannot be built.
pub fn set_up(level: LogLevel, format: LogFormat) -> Result<(), Box<dyn Error>> {
    let sink = StdStreamSink::builder().stderr();
    let sink = match format {
        LogFormat::Text => sink.formatter(FullFormatter::new()).build()?,
        LogFormat::Json => sink.formatter(JsonFormatter::new()).build()?,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
