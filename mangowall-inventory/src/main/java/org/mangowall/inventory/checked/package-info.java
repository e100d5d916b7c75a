/** Settings tables in TOML whose faults are collected and reported all at once. */
package org.mangowall.inventory.checked;
