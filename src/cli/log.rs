//! Structured logs on standard error, as text or JSON lines.

use std::str::FromStr;

use bpaf::Bpaf;
use tracing::level_filters::LevelFilter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Format, &'static str> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("a log format is text or json"),
        }
    }
}

/// What is logged, and how.
#[derive(Clone, Debug, Bpaf)]
pub struct Logging {
    /// The least level that is logged: off, error, warn, info, debug or trace
    #[bpaf(
        long("log-level"),
        argument("LEVEL"),
        fallback(LevelFilter::INFO),
        display_fallback
    )]
    level: LevelFilter,
    /// How a line is written: text or json
    #[bpaf(long("log-format"), argument("FORMAT"), fallback(Format::Text))]
    format: Format,
}

impl Logging {
    /// Starts logging to standard error. A second call has no effect.
    pub fn begin(&self) {
        let log = tracing_subscriber::fmt()
            .with_max_level(self.level)
            .with_writer(std::io::stderr)
            .with_target(false)
            .with_ansi(false);
        // The only possible error is that logging has started already.
        let _ = match self.format {
            Format::Text => log.try_init(),
            Format::Json => log.json().flatten_event(true).try_init(),
        };
    }
}
