/** The inventory document, which operators edit as TOML and the platform stores as JSON. */
package org.mangowall.inventory.document;
