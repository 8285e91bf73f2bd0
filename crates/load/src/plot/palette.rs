use plotters::style::RGBColor;

/// Line colours of the plots.
pub(super) const LINES: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(110, 110, 110),
];
