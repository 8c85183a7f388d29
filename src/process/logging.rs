//! Sets up the log.

use std::fmt::Arguments;
use std::io::IsTerminal;
use std::io::Write;
use std::io::stdout;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fern::Dispatch;
use fern::FormatCallback;
use fern::colors::Color;
use fern::colors::ColoredLevelConfig;
use log::LevelFilter;
use log::Record;
use serde_json::json;

use crate::process::events::EVENT_KEY;
use crate::process::events::Event;
use crate::process::events::LEFT_OUT_KEY;
use crate::process::log_output::LogOutput;
use crate::process::log_output::LostLinesFormatter;
use crate::process::settings::LogFormat;
use crate::process::settings::LogSettings;

/// Starts logging to standard output without blocking the caller. A second call has no effect.
pub fn start(settings: &LogSettings) {
    let format = settings.format;
    let colors = ColoredLevelConfig::new().error(Color::Red).warn(Color::Yellow);
    let is_terminal = stdout().is_terminal();
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("rhubarbthread", settings.level)
        .level_for("quinn", LevelFilter::Error)
        .level_for("rocket", LevelFilter::Error)
        .format(move |out, message, record| match format {
            LogFormat::Json => write_json(out, message, record),
            LogFormat::Text if is_terminal => {
                let level = colors.color(record.level());
                write_text(out, message, record, &level.to_string());
            }
            LogFormat::Text => write_text(out, message, record, record.level().as_str()),
        })
        .chain(Box::new(LogOutput::new(lost_lines_formatter(format))) as Box<dyn Write + Send>);
    // Fails if a program that embeds the daemons has already set a logger; that logger stays in use.
    let _ = dispatch.apply();
}

fn lost_lines_formatter(format: LogFormat) -> LostLinesFormatter {
    match format {
        LogFormat::Json => |lost| {
            let event = Event::LogLinesLost;
            let message = format!("{} lines={lost}", event.text());
            let level = event.level().as_str();
            json!({"at_ms": now_ms(), "level": level, "event": event.number(), "message": message})
                .to_string()
        },
        LogFormat::Text => |lost| {
            let event = Event::LogLinesLost;
            let (level, number) = (event.level(), event.number());
            format!("{} {level} {number} {} lines={lost}", now_ms(), event.text())
        },
    }
}

fn write_text(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>, level: &str) {
    let event = event_number(record);
    out.finish(format_args!("{} {level} {event} {message}", now_ms()));
}

fn write_json(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut line = json!({
        "at_ms": now_ms(),
        "level": record.level().as_str(),
        "event": event_number(record),
        "message": message.to_string(),
    });
    let left_out = key_value(record, LEFT_OUT_KEY);
    if left_out > 0 {
        line["left_out"] = left_out.into();
    }
    out.finish(format_args!("{line}"));
}

fn event_number(record: &Record<'_>) -> u64 {
    key_value(record, EVENT_KEY)
}

fn key_value(record: &Record<'_>, key: &str) -> u64 {
    let value = record.key_values().get(key.into());
    value.and_then(|value| value.to_u64()).unwrap_or(0)
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
